/**
 * The arithmetic of scheduling, without I/O, clocks or threads: what is decided follows from the arguments alone, and the
 * caller acts on it. Fair share between teams ({@link notchpick.scheduling.StatefulDrf}), the order of a team's jobs
 * ({@link notchpick.scheduling.JobOrder}, with {@link notchpick.scheduling.CriticalPath} for jobs that others depend on),
 * bin packing ({@link notchpick.scheduling.PlacementIndex}), preemption, consolidation and the scaling of the fleet.
 */
package notchpick.scheduling;
