// Command rig plays the cases of the review: it starts the project's program as the processes of a small deployment on loopback
// addresses, with stand-ins for endpoints, consumers, the operator and the platform, and checks one rule.
package main
