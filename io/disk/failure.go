package disk

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
)

// DamagedError reports that a file is missing or that its content fails a check.
type DamagedError struct {
	Path   string
	Offset int64 // of the bad record, in bytes; 0 if no single record is bad
	Reason string
}

// Error names the file or folder and the fault, and says what the operator should do.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("disk: %s is damaged at byte %d (%s): check the disk, move the whole data folder away, start with an empty one and add the replica again as a learner", e.Path, e.Offset, e.Reason)
}

// ForeignError reports a file of another format, version or replica.
type ForeignError struct{ Path, Reason string }

// Error names the file or folder and the fault, and says what the operator should do.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("disk: %s is not a file of this replica (%s): set data to a folder that only godwitspindle uses, or move the file away", e.Path, e.Reason)
}

// FullError reports that the disk or the quota is full, or that the limit on the size of files is reached.
type FullError struct {
	Path string
	Err  error
}

// Error names the file or folder and the fault, and says what the operator should do.
func (e *FullError) Error() string {
	return fmt.Sprintf("disk: no space left to write %s: free space, a running replica then resumes by itself: %v", e.Path, e.Err)
}

// Unwrap lets errors.Is and errors.As find the cause.
func (e *FullError) Unwrap() error { return e.Err }

// SyncError reports that a sync failed, so it is unknown how much of the file is on the disk.
type SyncError struct {
	Path string
	Err  error
}

// Error names the file or folder and the fault, and says what the operator should do.
func (e *SyncError) Error() string {
	return fmt.Sprintf("disk: sync of %s failed: check the disk, then restart the replica: %v", e.Path, e.Err)
}

// Unwrap lets errors.Is and errors.As find the cause.
func (e *SyncError) Unwrap() error { return e.Err }

// FileError reports a failed file operation that no other error of this package covers.
type FileError struct {
	Operation, Path string
	Err             error
}

// Error names the file or folder and the fault, and says what the operator should do.
func (e *FileError) Error() string {
	return fmt.Sprintf("disk: %s %s failed: check the folder's permissions and disk: %v", e.Operation, e.Path, e.Err)
}

// Unwrap lets errors.Is and errors.As find the cause.
func (e *FileError) Unwrap() error { return e.Err }

// LockedError reports that another process uses the folder.
type LockedError struct{ Folder string }

// Error names the file or folder and the fault, and says what the operator should do.
func (e *LockedError) Error() string {
	return fmt.Sprintf("disk: %s is in use by another process: stop that process or set another data folder", e.Folder)
}

// ClosedError reports an operation on a log that was closed or has failed before.
type ClosedError struct{ Err error }

// Error says that the log is closed, or names the first failure and asks for a restart of the replica.
func (e *ClosedError) Error() string {
	if e.Err == nil {
		return "disk: the log is closed"
	}
	return "disk: the log accepts no operations after a failure; restart the replica: " + e.Err.Error()
}

// Unwrap returns the first failure, or nil if the log was closed without one.
func (e *ClosedError) Unwrap() error { return e.Err }

func writeError(path string, err error) error { return operationError("write of", path, err) }

// noSpace are the errors of a full disk, of a used-up quota and of the limit on the size of files, which may all end by themselves.
var noSpace = []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG}

// operationError returns the typed error for a failed operation on a file; nil for none.
func operationError(o Operation, path string, err error) error {
	switch {
	case err == nil:
		return nil
	case slices.ContainsFunc(noSpace, func(e syscall.Errno) bool { return errors.Is(err, e) }):
		return &FullError{Path: path, Err: err}
	}
	return &FileError{Operation: string(o), Path: path, Err: err}
}
