// Package move is the pure state machine of one VM move: serving, draining,
// drained, moved, rebooted, probed, serving.
//
// From the VM's row, the step of the plan and the evidence it derives the next row to
// write or the next action. It keeps no state of its own, so that any process can
// continue a move from the stored rows. The identity of a reboot is stored in the row
// before the reboot is started.
package move
