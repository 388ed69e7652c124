// Package jobpb holds the records that entry processes keep in the table
// service and the messages that they exchange about jobs.
package jobpb
