package dispatch

// recordCompleteness records whether a report lists all finished attempts of its worker, and logs when that changes.
//
// From a partial report it is not known how the attempts ended that it does not
// list, so that they stay assigned. The worker gets no tasks meanwhile: as each
// acknowledgement shortens its list, and nothing is added but the ends of what it
// was told to start before, its reports are complete after a bounded number of calls.
func (p *Planner) recordCompleteness(w *worker, r Report) {
	if r.MoreFinished != w.moreFinished {
		p.Logger.Info().Str("Worker", w.ID).Bool("Partial", r.MoreFinished).Int("Ended", len(r.Finished)).Int("Attempts", len(w.attempts)).Int64("Acknowledged", w.ackNumber).
			Str("Decision", "PartialReport").Msg("worker began or ceased to have more finished attempts than its report lists")
	}
	w.moreFinished = r.MoreFinished
}

// isEndAwaited reports whether the outcome of an attempt that is over may be told by a later report, and matters.
//
// It does not for a task that is done by an earlier attempt. That one's end is
// acknowledged only once no attempt of the task is assigned, so that to wait here
// would keep the worker's list from getting shorter.
func (p *Planner) isEndAwaited(w *worker, a *attempt) bool {
	if !w.moreFinished || a.job.IsTerminal() {
		return false
	}
	_, done := p.releasedEnd(a.job, a.task)
	return !done
}

// HasMoreFinished reports whether a worker may have finished attempts beyond those of its latest report.
func (p *Planner) HasMoreFinished(id string) bool {
	w := p.workers[id]
	return w != nil && w.moreFinished
}
