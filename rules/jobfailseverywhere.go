package rules

import "celerypoint.example/celerypoint/rule"

var jobFailsEverywhere = rule.Rule{
	Name:  "jobFailsEverywhere",
	Title: "The job failed on several VMs",
	Text: "The job ended with its own error on 3 different VMs, so the fault is taken to be in the job and not in the VMs. " +
		"Callers read the error, correct the job and submit it again. " +
		"Operators look at the VMs only when different jobs fail there.",
	Since: "0.1",
}
