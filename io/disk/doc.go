// Package disk keeps a replica's durable state in one folder: identity, state, snap-*, log-* and floor.
//
// A log segment starts with a header record. Each Save appends one record and syncs once, so a torn write can only
// damage the last record of the last segment. A record is a length, the payload's CRC32C, a CRC32C of these two and
// the payload; the header's own checksum keeps a damaged length from being read as a torn tail.
//
// A bad last record is cut off only if it looks unwritten: the file ends inside it, or one of its 512-byte sectors is
// all zero. Any other bad record is damage, and the folder is refused. The files state, snap-*, identity and floor are
// replaced by an atomic rename.
package disk
