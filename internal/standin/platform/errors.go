package platform

import "fmt"

// SnapshotLimitError reports that the maximum number of snapshots is stored.
type SnapshotLimitError struct {
	Limit int
}

func (e *SnapshotLimitError) Error() string {
	return fmt.Sprintf("at most %d snapshots are held", e.Limit)
}

// SnapshotNotFoundError reports that no snapshot has the given name.
type SnapshotNotFoundError struct {
	Name string
}

func (e *SnapshotNotFoundError) Error() string {
	return fmt.Sprintf("snapshot %q does not exist", e.Name)
}

// RequestError reports an invalid request and the HTTP status of its answer.
type RequestError struct {
	Status int
	Detail string
}

func (e *RequestError) Error() string { return e.Detail }
