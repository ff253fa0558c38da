package disk

import (
	"errors"
	"fmt"
	"syscall"
)

// DamagedError says that a file's content fails its checks at an offset in bytes.
type DamagedError struct {
	Path   string
	Offset int64
	Reason string
}

// Error formats the failure.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("disk: %s is damaged at byte %d (%s): check the disk, move the whole data folder away, start with an empty one and add the replica again as a learner", e.Path, e.Offset, e.Reason)
}

// ForeignError says that a file is not of this format or version.
type ForeignError struct{ Path, Reason string }

// Error formats the failure.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("disk: %s does not belong here (%s): set data to a folder that only godwitspindle uses, or move the file away", e.Path, e.Reason)
}

// FullError says that no space is left.
type FullError struct {
	Path string
	Err  error
}

// Error formats the failure.
func (e *FullError) Error() string {
	return fmt.Sprintf("disk: no space left to write %s: free space and restart the replica: %v", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *FullError) Unwrap() error { return e.Err }

// SyncError says that a sync failed, so that it is unknown what the disk holds.
type SyncError struct {
	Path string
	Err  error
}

// Error formats the failure.
func (e *SyncError) Error() string {
	return fmt.Sprintf("disk: sync of %s failed: check the disk, then restart the replica: %v", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *SyncError) Unwrap() error { return e.Err }

// FileError says that another file operation failed.
type FileError struct {
	Operation, Path string
	Err             error
}

// Error formats the failure.
func (e *FileError) Error() string {
	return fmt.Sprintf("disk: %s %s failed: check the folder's permissions and disk: %v", e.Operation, e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// LockedError says that another process uses the folder.
type LockedError struct{ Folder string }

// Error formats the failure.
func (e *LockedError) Error() string {
	return fmt.Sprintf("disk: %s is in use by another process: stop that process or set another data folder", e.Folder)
}

// ClosedError says that the log was closed or failed earlier.
type ClosedError struct{ Err error }

// Error formats the failure.
func (e *ClosedError) Error() string {
	if e.Err == nil {
		return "disk: the log is closed"
	}
	return "disk: the log refuses all work after a failure; restart the replica: " + e.Err.Error()
}

// Unwrap returns the first failure; nil when the log was closed.
func (e *ClosedError) Unwrap() error { return e.Err }

func writeError(path string, err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &FullError{Path: path, Err: err}
	}
	return &FileError{Operation: "write of", Path: path, Err: err}
}
