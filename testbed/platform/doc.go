// Package platform is a stand-in for the platform: the table service, the
// lagging VM list and reboots over HTTP, with an endpoint that sets faults.
//
// Besides the calls of the protocol it serves, for tests:
//
//   - POST /v1/faults with FaultRequest replaces the faults; fields that are
//     absent keep their value. GET /v1/faults returns the current ones.
//   - POST /v1/vms/{id}/state with {"state": "live" | "leaving"} announces a VM.
package platform
