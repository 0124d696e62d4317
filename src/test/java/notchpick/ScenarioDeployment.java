package notchpick;

import java.util.ArrayList;
import java.util.List;
import notchpick.coordination.Deployment.Quota;
import notchpick.scheduling.MachineType;
import notchpick.scheduling.Resources;
import notchpick.simulation.SimulatedCluster;
import notchpick.simulation.SimulatedCluster.Limits;
import notchpick.simulation.SimulatedCluster.Timing;

/** What is said of the deployment, as far as it differs from the usual. */
final class ScenarioDeployment {
    private int controllers = 3;
    private double requestsPerS = 300;
    private double writesPerS = 100;
    private Limits next;
    private Timing timing = Timing.DEFAULT;
    private boolean nextIsNews;
    private final List<Quota> teams = new ArrayList<>();
    private final List<MachineType> types = new ArrayList<>();
    private final List<String[]> pools = new ArrayList<>();

    /** Takes in one line of the scenario. */
    void read(String[] words, int line, List<ScenarioStep> steps) {
        switch (words[0]) {
            case "", "#" -> {}
            case "requests-per-second" -> requestsPerS = Double.parseDouble(words[1]);
            case "writes-per-second" -> writesPerS = Double.parseDouble(words[1]);
            case "next" -> {
                next = new Limits(Integer.parseInt(words[1]), Integer.parseInt(words[2]), Double.parseDouble(words[3]));
                nextIsNews = words.length > 4;
            }
            case "workers" ->
                timing = new Timing(
                        Double.parseDouble(words[2]), Double.parseDouble(words[4]), Double.parseDouble(words[6]));
            case "controllers" -> controllers = Integer.parseInt(words[1]);
            case "team" ->
                teams.add(new Quota(
                        words[1],
                        new Resources(Double.parseDouble(words[2]), 0, 0),
                        new Resources(Double.parseDouble(words[3]), 0, 0)));
            case "type" ->
                types.add(new MachineType(
                        words[1],
                        new Resources(Double.parseDouble(words[2]), Double.parseDouble(words[3]), 64),
                        100,
                        1,
                        1,
                        0.3,
                        Double.parseDouble(words[4]),
                        List.of("east", "west")));
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

    /** The deployment as described. */
    SimulatedCluster start() {
        List<Quota> allTeams = teams.isEmpty() ? List.of(new Quota("a", Resources.NONE, Resources.NONE)) : teams;
        List<MachineType> allTypes = types.isEmpty()
                ? List.of(new MachineType("m8", new Resources(8, 0, 64), 100, 1, 1, 0.3, 10, List.of("east", "west")))
                : types;
        SimulatedCluster cluster = new SimulatedCluster(
                controllers, allTeams, allTypes, requestsPerS, writesPerS, next, nextIsNews, timing);
        if (pools.isEmpty()) {
            cluster.capacity("m8", "east", true, 4);
            cluster.capacity("m8", "west", true, 4);
            cluster.capacity("m8", "east", false, 4);
        }
        pools.forEach(p -> cluster.capacity(p[1], p[2], p[3].equals("spot"), Integer.parseInt(p[4])));
        return cluster;
    }
}
