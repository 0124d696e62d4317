/**
 * The leader's view of the cluster: jobs, machines and task assignments, and the graph of dependencies among jobs.
 * {@link notchpick.model.ClusterState} is the entry point. Nothing here sends or stores anything.
 */
package notchpick.model;
