package dispatch

// fencesPerEpoch is the number of fencing tokens that an owner may use at each worker.
const fencesPerEpoch = 1 << 16

// NextEpoch returns the epoch of the owner after one with the given epoch. An epoch is the highest fencing token of its owner, so
// that owners of earlier versions, which use the epoch itself after the latest one, have higher tokens than the owner before them.
func NextEpoch(epoch int64) int64 { return epoch + fencesPerEpoch }

// Fence returns the fencing token of a call that is to be sent to a worker now. Once the worker has responded to it, it executes no
// call with a lower token.
func (p *Planner) Fence(worker string) int64 {
	n := p.highestFence
	if w := p.workers[worker]; w != nil {
		n = w.fence
	}
	return p.Epoch - (fencesPerEpoch - 1) + n
}

// raiseFence makes later calls to a worker carry a higher fencing token than earlier ones, so that it refuses those that are executed
// late.
func (p *Planner) raiseFence(w *worker) {
	w.fence = min(w.fence+1, fencesPerEpoch-1)
	p.highestFence = max(p.highestFence, w.fence)
}
