/**
 * Allocation of resources: {@link notchpick.coordination.leader.allocation.ResourceAllocator} ranks the teams by
 * Stateful Dominant Resource Fairness and grants resources,
 * {@link notchpick.coordination.leader.allocation.ResourceLeases} leases them to the controllers that place the tasks,
 * {@link notchpick.coordination.leader.allocation.TaskPlacer} places them, and
 * {@link notchpick.coordination.leader.allocation.TaskLaunchLog} makes the launches durable.
 */
package notchpick.coordination.leader.allocation;
