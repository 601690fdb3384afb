package rules

import "celerypoint.example/celerypoint/rule"

var taskCrashesWorkers = rule.Rule{
	Name:  "taskCrashesWorkers",
	Title: "A task crashes the workers that start it",
	Text: "Workers crashed during 3 runs of a task, and no run of the task has outlived the lost ones, so the fault is assumed to be in the task and its job ends as failed. " +
		"Runs whose start order the worker had not answered, and runs on workers that could not be reached, are weaker evidence: the job ends after 5 losses of any kind. " +
		"A crash counts against all runs that the worker had; where there is room, tasks that were lost in the same crash run apart until one outlives the lost run, and a task with two crashes runs alone. " +
		"Callers correct the job and submit it under a new ID. " +
		"Operators look at the lines workerCrashed: if workers also crash without the task, the workers are at fault.",
	Since: "0.1",
}
