// Package control runs a scheduling domain on a set of equal entry hosts. One
// host owns the domain and drives its workers. The others forward callers'
// requests to the owner and take the domain over when it fails. Scheduling
// decisions are made by package dispatch; durable state is kept in the table
// service.
package control
