/**
 * Scales the rented machines to the demand: {@link notchpick.coordination.leader.scaling.Autoscaler} compares demand
 * and machines, {@link notchpick.coordination.leader.scaling.MachineRenter} scales out,
 * {@link notchpick.coordination.leader.scaling.RetirementPolicy} decides what to scale in, and
 * {@link notchpick.coordination.leader.scaling.MachineReleaser} releases it.
 */
package notchpick.coordination.leader.scaling;
