package integration

// batchMutations break the mechanisms of jobs and configurations.
var batchMutations []Mutation
