package jobserve

import "currantknot.dev/currantknot/internal/dispatch"

// countRackWaits adds the waits for racks since the latest cycle to the counters.
func (o *Owner) countRackWaits(c dispatch.Counts) {
	add := func(name, label string, n int) {
		if n > 0 {
			o.Metrics.Add(name, label, n)
		}
	}
	add(metricRackWaits, "", c.RackWaits)
	add(metricRackWaitsEnded, label("paid", "true"), c.RackWaitsPaid)
	add(metricRackWaitsEnded, label("paid", "false"), c.RackWaitsUnpaid)
}
