// Package control runs a scheduling domain on a set of equal entry hosts. One
// of them owns the domain and drives its workers; the others forward what
// callers ask to it and take over when it is gone. All decisions are made by
// package dispatch, all that must last is in the table service.
package control
