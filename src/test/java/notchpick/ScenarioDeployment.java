package notchpick;

import java.util.ArrayList;
import java.util.List;
import notchpick.coordination.Deployment.Quota;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.Resources;
import notchpick.simulation.ClusterConfig;
import notchpick.simulation.SimulatedCluster;
import notchpick.simulation.StateStoreLimits;
import notchpick.simulation.WorkerTiming;

/** The deployment of a scenario: default values, except where a line of the scenario sets another. */
final class ScenarioDeployment {
    private final ClusterConfig.Builder config = ClusterConfig.builder();
    private final List<Quota> teams = new ArrayList<>();
    private final List<MachineType> machineTypes = new ArrayList<>();
    private final List<String[]> pools = new ArrayList<>();

    /** Reads one line of the scenario; a line with a time is added to the steps. */
    void read(String[] words, int line, List<ScenarioStep> steps) {
        switch (words[0]) {
            case "", "#" -> {}
            case "requests-per-second" -> config.requestsPerS(Double.parseDouble(words[1]));
            case "writes-per-second" -> config.writesPerS(Double.parseDouble(words[1]));
            case "announced-limits" ->
                config.announcedLimits(
                        new StateStoreLimits(
                                Integer.parseInt(words[1]), Integer.parseInt(words[2]), Double.parseDouble(words[3])),
                        words.length > 4);
            case "workers" ->
                config.timing(new WorkerTiming(
                        Double.parseDouble(words[2]), Double.parseDouble(words[4]), Double.parseDouble(words[6])));
            case "controllers" -> config.controllers(Integer.parseInt(words[1]));
            case "team" ->
                teams.add(new Quota(
                        words[1],
                        new Resources(Double.parseDouble(words[2]), 0, 0),
                        new Resources(Double.parseDouble(words[3]), 0, 0)));
            case "type" ->
                machineTypes.add(ClusterConfig.machineType(
                        words[1],
                        new Resources(Double.parseDouble(words[2]), Double.parseDouble(words[3]), 64),
                        Double.parseDouble(words[4])));
            case "pool" -> pools.add(words);
            case "at" -> {
                if (words.length < 3) {
                    throw new IndexOutOfBoundsException();
                }
                steps.add(new ScenarioStep(line, Double.parseDouble(words[1]), words));
            }
            default -> throw new IllegalArgumentException("unknown word " + words[0]);
        }
    }

    /** Starts the deployment. */
    SimulatedCluster start() {
        if (!teams.isEmpty()) {
            config.teams(teams);
        }
        if (!machineTypes.isEmpty()) {
            config.machineTypes(machineTypes);
        }
        SimulatedCluster cluster = new SimulatedCluster(config.build());
        if (pools.isEmpty()) {
            cluster.setCapacity("m8", "east", true, 4);
            cluster.setCapacity("m8", "west", true, 4);
            cluster.setCapacity("m8", "east", false, 4);
        }
        pools.forEach(pool -> cluster.setCapacity(pool[1], pool[2], pool[3].equals("spot"), Integer.parseInt(pool[4])));
        return cluster;
    }
}
