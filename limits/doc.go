// Package limits groups the limits on traffic: slots, admission and retries.
package limits
