package platform

import "fmt"

// SnapshotLimitError reports a snapshot beyond the number that is held.
type SnapshotLimitError struct {
	Limit int
}

func (e *SnapshotLimitError) Error() string {
	return fmt.Sprintf("at most %d snapshots are held", e.Limit)
}

// SnapshotMissingError reports a snapshot that was not taken.
type SnapshotNotFoundError struct {
	Name string
}

func (e *SnapshotNotFoundError) Error() string {
	return fmt.Sprintf("snapshot %q does not exist", e.Name)
}

// RequestError reports a request that cannot be understood.
type RequestError struct {
	Status int
	Detail string
}

func (e *RequestError) Error() string { return e.Detail }
