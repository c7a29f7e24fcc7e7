package jobserve

import (
	"currantknot.dev/currantknot/internal/jobs"
)

// maxLoggedBytes is the maximum size of what a log line quotes of a malformed record or key.
const maxLoggedBytes = 200

// Excerpt returns the beginning of a text of another writer, for a log line.
func Excerpt(s string) string { return s[:min(len(s), maxLoggedBytes)] }

// OtherJobError reports a submission under the key of another job.
type OtherJobError struct {
	// Job is the ID in the submission.
	Job string
}

// Error names the job.
func (e *OtherJobError) Error() string { return "submission of job " + e.Job }

// decodeSubmission decodes the submission under the key of a job.
func decodeSubmission(id string, b []byte) (jobs.Spec, error) {
	s, err := jobs.DecodeSpec(b)
	if err == nil && s.ID != id {
		err = &OtherJobError{s.ID}
	}
	return s, err
}

// spec decodes the submission of a job, and reports whether there is one that is not malformed; r.mu is held. A malformed one is
// decoded and logged once.
func (r *Replica) spec(id string) (jobs.Spec, bool) {
	b, ok := r.specs[id]
	if !ok || r.malformed[id] {
		return jobs.Spec{}, false
	}
	s, err := decodeSubmission(id, b)
	if err != nil {
		r.malformed[id] = true
		r.logger.Error().Str("error", Excerpt(err.Error())).Str("Job", Excerpt(id)).Int("Bytes", len(b)).Str("Decision", "IgnoreSubmission").Msg("submission is malformed")
		return jobs.Spec{}, false
	}
	return s, true
}

// reportMalformed logs a malformed progress record once; r.mu is held.
func (r *Replica) reportMalformed(x Record, err error) {
	if at, ok := r.malformedAt[x.Key]; ok && at == x.Offset {
		return
	}
	r.malformedAt[x.Key] = x.Offset
	r.logger.Error().Str("error", Excerpt(err.Error())).Str("Key", Excerpt(x.Key)).Int64("Offset", x.Offset).Int("Bytes", len(x.Value)).Str("Decision", "IgnoreProgress").Msg("progress record is malformed")
}

// Malformed returns the number of submissions and progress records that were found to be malformed.
func (r *Replica) Malformed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.malformed)
	for k, at := range r.malformedAt {
		if x, ok := r.progress[k]; ok && x.Offset == at {
			n++
		}
	}
	return n
}
