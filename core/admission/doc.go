// Package admission implements admission control at the node beside a backend server: it decides which calls run, queue or
// are refused.
package admission
