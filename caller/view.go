package caller

import (
	"celerypoint.example/celerypoint/codec"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/wire"
)

// viewTo encodes what a caller learns of a job.
func viewTo(v job.View) wire.JobView {
	return wire.JobView{
		ID: v.ID, Org: v.Org, Phase: wire.JobPhase(v.Phase), VMs: v.VMs,
		AcceptedAtUnixMs: codec.Millis(v.AcceptedAt), StartedAtUnixMs: codec.Millis(v.StartedAt),
		EndedAtUnixMs: codec.Millis(v.EndedAt), WaitsFor: v.WaitsFor, Outcome: codec.OutcomeTo(v.Outcome),
	}
}
