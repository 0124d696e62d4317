/**
 * The cluster as the leader knows it: jobs, machines and task assignments, and the graph of dependencies among jobs.
 * {@link notchpick.model.ClusterState} is the entry point. Nothing here sends or stores anything.
 */
package notchpick.model;
