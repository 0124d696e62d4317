/**
 * Scheduling algorithms without I/O, clocks or threads: decisions depend on the arguments alone, and the caller carries
 * them out. They cover fair share between teams ({@link notchpick.scheduling.StatefulDrf}), the order of a team's jobs
 * ({@link notchpick.scheduling.JobOrder}, with {@link notchpick.scheduling.CriticalPath} for jobs with dependents), bin
 * packing ({@link notchpick.scheduling.PlacementIndex}), preemption, consolidation and the scaling of the fleet.
 */
package notchpick.scheduling;
