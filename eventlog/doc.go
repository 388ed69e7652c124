// Package eventlog writes numbered log events and keeps the timeline.
package eventlog
