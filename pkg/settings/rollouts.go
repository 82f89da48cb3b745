package settings

// Rollouts bounds what a bad version of a service may do in a rollout. Without it, there are no rollouts.
type Rollouts struct {
	// ExposureShare and ExposureSlack bound the requests that a bad version may receive between the order of
	// a rollout and its time limit: ExposureShare of all requests to the service, plus ExposureSlack.
	ExposureShare float64 `json:"exposure_share"`
	ExposureSlack float64 `json:"exposure_slack"`
	// RollbackMS is the time after its 50th bad response after which a bad version receives no request, in
	// milliseconds.
	RollbackMS int `json:"rollback_ms"`
}

// checkRollouts checks the optional object for rollouts.
func (f *faultList) checkRollouts(r *Rollouts) {
	if r == nil {
		return
	}
	if !(r.ExposureShare > 0 && r.ExposureShare <= 1) {
		f.addf("rollouts.exposure_share: is %g, must be above 0 and at most 1", r.ExposureShare)
	}
	if !(r.ExposureSlack >= 0) {
		f.addf("rollouts.exposure_slack: is %g, must not be negative", r.ExposureSlack)
	}
	f.checkAtLeast("rollouts.rollback_ms", int64(r.RollbackMS), 1)
}
