package rules

import "celerypoint.example/celerypoint/rule"

var taskCrashesWorkers = rule.Rule{
	Name:  "taskCrashesWorkers",
	Title: "A task crashes the workers that start it",
	Text: "Workers crashed during 3 runs of a task, and no run of the task has outlived the lost ones, so the fault is assumed to be in the task and its job ends as failed. " +
		"A crash counts against all runs that the worker had; a task that has lost a run is kept apart from others until it is cleared. " +
		"Callers correct the job and submit it under a new ID. " +
		"Operators look at the lines workerCrashed: if workers also crash without the task, the workers are at fault.",
	Since: "0.1",
}
