// Package disk stores a replica's durable state in one folder, in the files identity, state, snap-*, log-* and floor.
//
// A log segment starts with a header record. Each Save appends one record of entries and syncs once, so a torn write can
// damage only the last record of the last segment. A record consists of the length of the payload, the CRC32C of the payload, the
// CRC32C of these two fields, and the payload; the second checksum prevents a damaged length from being read as a torn write.
//
// A bad last record is truncated only if it appears unwritten: the file ends inside it, or one of its 512-byte sectors is
// all zero. Any other bad record is damage, and Open fails. The files state, snap-*, identity and floor are replaced by an
// atomic rename.
package disk
