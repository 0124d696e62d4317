package notchpick.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import notchpick.coordination.Deployment;
import notchpick.coordination.Deployment.Peer;
import notchpick.coordination.Deployment.Quota;
import notchpick.protocol.Json;

/** Writes the settings of a deployment in the format of the platform's file. */
final class ProcessSettings {
    private static final double BYTES_PER_KB = 1024;
    private static final double LIST_LAG_S = 1;

    private ProcessSettings() {}

    /**
     * The settings of one controller.
     *
     * @param outgoing the loopback address to use for each address in the deployment
     */
    static ObjectNode of(Deployment deployment, String clients, String peers, Map<String, String> outgoing) {
        ObjectNode root = Json.object()
                .put("node", deployment.node())
                .put("location", deployment.zones().get(0))
                .put("serve_on", clients)
                .put("peer_bind", peers);
        ArrayNode known = root.putArray("known");
        for (Peer peer : deployment.peers()) {
            known.addObject()
                    .put("node", peer.node())
                    .put("location", deployment.zones().get(0))
                    .put("addr", outgoing.get(peer.address()));
        }
        root.putObject("outside")
                .put("cloud", outgoing.get(deployment.cloudAddress()))
                .put("state", outgoing.get(deployment.stateStoreAddress()));
        addDeployment(root.putObject("deployment"), deployment);
        return root;
    }

    private static void addDeployment(ObjectNode node, Deployment deployment) {
        ArrayNode zones = node.putArray("zones");
        deployment.zones().forEach(zones::add);
        ArrayNode teams = node.putArray("teams");
        for (Quota quota : deployment.quotas()) {
            ObjectNode team = teams.addObject().put("name", quota.team());
            if (quota.maximum().cores() > 0) {
                team.put("cpus_max", quota.maximum().cores());
            }
        }
        node.putObject("workers")
                .put("report_s", deployment.workerTiming().heartbeatPeriodS())
                .put("lease_s", deployment.workerTiming().leaseS())
                .put("cancel_s", deployment.workerTiming().cancelTimeoutS());
        Deployment.StateStoreLimits limits = deployment.stateStoreLimits();
        node.putObject("state")
                .put("rps", limits.requestsPerS())
                .put("write_rps", limits.writesPerS())
                .put("value_kb", limits.valueBytes() / BYTES_PER_KB)
                .put("txn_ops", limits.transactionWrites());
        node.putObject("cloud").put("rps", deployment.cloudRequestsPerS()).put("list_lag_s", LIST_LAG_S);
        node.putObject("machine_limits").put("fd_limit", deployment.socketLimit());
    }
}
