package quarantine

// Progress is how far the answer to a request had come when its connection broke
// off.
type Progress int

const (
	// Settled answers had gone on for some time, or were whole. A crash of their
	// replica is not their doing.
	Settled Progress = iota
	// Waiting is a request of whose answer no byte had arrived. The replica may have
	// begun to write it, or not have looked at the request at all.
	Waiting
	// Beginning is an answer of which a part of the header had arrived, and no event.
	Beginning
	// Begun is an answer whose first event had arrived shortly before.
	Begun
)

// String returns the progress as it is written in logs.
func (p Progress) String() string {
	switch p {
	case Waiting:
		return "waiting"
	case Beginning:
		return "beginning"
	case Begun:
		return "begun"
	default:
		return "settled"
	}
}
