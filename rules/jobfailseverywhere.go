package rules

import "celerypoint.example/celerypoint/rule"

var jobFailsEverywhere = rule.Rule{
	Name:  "jobFailsEverywhere",
	Title: "The job failed on several VMs",
	Text: "The job failed with an error of its own on 3 different VMs, so the fault is assumed to be in the job and not in the VMs. " +
		"Callers read the error, correct the job and submit it again. " +
		"Operators check the VMs only if other jobs fail there too.",
	Since: "0.1",
}
