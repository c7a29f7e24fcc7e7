package dispatch

import "time"

const (
	// priorLoad is the expected load of a service of which nothing is known, in parts of what it can bear.
	priorLoad = 0.45
	// priorLoadVariance is the variance of that expectation.
	priorLoadVariance = 0.03
	// loadVariancePerSecond is how fast a load becomes uncertain.
	loadVariancePerSecond = 0.01
	// mostLoadVariance bounds that uncertainty.
	mostLoadVariance = 0.03
	// trendRate is the part of a correction of the load that goes into its trend.
	trendRate = 0.6
	// steepest bounds the trend, per second.
	steepest = 0.12
	// trendMemory is the time in which a trend that no figure confirms fades.
	trendMemory = 2 * time.Second
	// mostLoad bounds a load.
	mostLoad = 0.97
)

// load is what is known of the load of one long-running job.
type load struct {
	estimate
	// trend is the change of the load per second.
	trend float64
	at    time.Time
}

// advance moves the estimate to an instant.
func (l *load) advance(now time.Time) {
	if l.at.IsZero() {
		l.at = now
	}
	d := now.Sub(l.at).Seconds()
	if d <= 0 {
		return
	}
	l.Mean = clampLoad(l.Mean + l.trend*d)
	l.Variance = min(mostLoadVariance, l.Variance+loadVariancePerSecond*d)
	l.trend *= max(0, 1-d/trendMemory.Seconds())
	l.at = now
}

// observe corrects load and trend by an error of an observation with the given variance; k is the slowdown.
func (l *load) observe(k, e, d float64) {
	g := l.Variance * k / d
	l.Mean = clampLoad(l.Mean + g*e)
	l.Variance = max(noiseVariance/4, l.Variance*(1-g*k))
	l.trend = min(max(l.trend+trendRate*g*e, -steepest), steepest)
}

// ahead returns the load that is expected at an instant.
func (l *load) ahead(t time.Time) float64 {
	return clampLoad(l.Mean + l.trend*max(0, t.Sub(l.at).Seconds()))
}

func clampLoad(x float64) float64 { return min(max(x, 0.02), mostLoad) }
