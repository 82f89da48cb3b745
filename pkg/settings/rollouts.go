package settings

// Rollouts enables the rollouts of services to new versions, and holds the bounds that the operators set
// for bad versions.
type Rollouts struct {
	// ExposureShare and ExposureSlack bound the requests that a bad version receives: that share of the
	// requests of its service between the order and its time limit, plus that number.
	ExposureShare float64 `json:"exposure_share"`
	ExposureSlack float64 `json:"exposure_slack"`
	// RollbackMS is the time in milliseconds after which a version that was found bad receives no more
	// requests.
	RollbackMS int `json:"rollback_ms"`
}

func (f *faultList) checkRollouts(r *Rollouts) {
	if r == nil {
		return
	}
	if r.ExposureShare <= 0 || r.ExposureShare > 1 {
		f.addf("rollouts.exposure_share: is %g, must be above 0 and at most 1", r.ExposureShare)
	}
	if r.ExposureSlack < 0 {
		f.addf("rollouts.exposure_slack: is %g, must not be negative", r.ExposureSlack)
	}
	f.checkAtLeast("rollouts.rollback_ms", int64(r.RollbackMS), 1)
}
