// Package admission decides at the node beside a backend server which calls run, wait or are refused.
package admission
