// Package platform is a stand-in for the platform. It serves the table service, a VM list
// that lags and reboots over HTTP, and has an endpoint that injects faults.
//
// Besides the requests of the platform's protocol it serves, for tests:
//
//   - POST /v1/faults with FaultRequest replaces the faults; absent fields
//     keep their value. GET /v1/faults returns the current ones.
//   - POST /v1/vms/{id}/state with {"state": "live" | "leaving"} sets the state of a VM in
//     the list.
package platform
