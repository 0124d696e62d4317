package notchpick.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import notchpick.coordination.Deployment;
import notchpick.coordination.Tuning;
import notchpick.scheduling.Resources;
import notchpick.scheduling.ServiceObjectives.Kind;
import notchpick.scheduling.ServiceObjectives.Objective;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** Settings files: what is read of them, and that each error names its field. */
class SettingsTest {
    private static final String GOOD = """
            {"node":"n-0","location":"east","serve_on":"10.0.0.1:8080","peer_bind":"10.0.0.1:8081",
             "known":[{"node":"n-1","location":"west","addr":"10.0.0.2:8081"}],
             "outside":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},"new":1,
             "deployment":{"zones":["east","west"],
              "teams":[{"name":"a","cpus":8,"cpus_max":0}],
              "objectives":[{"kind":"finished","class":"c","within_s":150},{"kind":"wait","class":"c","within_s":90}],
              "workers":{"report_s":3,"lease_s":22,"cancel_s":42},
              "state":{"rps":250,"write_rps":100,"value_kb":32,"txn_ops":12},
              "cloud":{"rps":6,"list_lag_s":3},"machine_limits":{"cpu":0.2,"mem_mb":205,"fd_limit":1500}}}""";

    @TempDir
    private Path folder;

    private Path file(String name, String text) throws Exception {
        return Files.writeString(folder.resolve(name), text);
    }

    @Test
    void readsThePlatformsSettings() throws Exception {
        Deployment deployment = Settings.read(file("s.json", GOOD));
        assertEquals(2, deployment.controllerCount());
        assertEquals(
                List.of(new Objective(Kind.FINISHED, 150), new Objective(Kind.STARTED, 90)),
                deployment.objectives().byClass().get("c"));
        assertTrue(deployment.quota("a").allows(new Resources(1000, 0, 0)));
    }

    @Test
    void takesTheLowerOfPresentAndAnnouncedLimits() throws Exception {
        Deployment deployment = Settings.read(file(
                "s.json",
                GOOD.replace(
                        "\"txn_ops\":12",
                        "\"txn_ops\":12,\"next\":{\"value_kb\":2.0,\"txn_ops\":4,\"write_rps\":200,\"later\":1}")));
        assertEquals(2048, deployment.maxValueBytes());
        assertEquals(4, deployment.stateStoreLimits().transactionWrites());
        assertEquals(4, deployment.maxTransactionWrites());
        assertEquals(100, deployment.stateStoreLimits().writesPerS());
        assertEquals(250, deployment.stateStoreLimits().requestsPerS());
    }

    @Test
    void gracePeriodFitsIntoTheCancellationTimeout() throws Exception {
        Deployment deployment = Settings.read(file("s.json", GOOD));
        // 42 s less the worker lease of 22 s, the leader lease of 8 s and a heartbeat period; at most half the worker
        // lease.
        assertEquals(9000, deployment.gracePeriodMs(8));
        assertEquals(11000, deployment.gracePeriodMs(3.3));
    }

    @ParameterizedTest
    @CsvSource({
        "'\"node\":\"n-0\",', '', node",
        "10.0.0.1:8080, here, serve_on",
        "'\"rps\":250', '\"rps\":0', state.rps",
        "'\"txn_ops\":12', '\"txn_ops\":12,\"next\":{\"rps\":\"x\"}', state.next.rps",
        "'\"txn_ops\":12', '\"txn_ops\":12,\"next\":{\"value_kb\":0}', state.next.value_kb",
        "'\"txn_ops\":12', '\"txn_ops\":12,\"next\":[]', state.next",
        "'\"txn_ops\":12', '\"txn_ops\":1', state.txn_ops",
        "'\"lease_s\":22', '\"lease_s\":\"x\"', workers.lease_s",
        "'\"teams\":[', '\"team\":[', teams"
    })
    void namesTheInvalidField(String original, String replacement, String field) throws Exception {
        Path file = file("s.json", GOOD.replace(original, replacement));
        InvalidSettingsException fault = assertThrows(InvalidSettingsException.class, () -> Settings.read(file));
        assertTrue(fault.getMessage().contains(field), fault.getMessage());
        assertTrue(fault.field().endsWith(field), fault.field());
        assertEquals("settings: " + fault.field() + " must " + fault.requirement(), fault.getMessage());
        assertEquals(1, fault.getMessage().lines().count());
    }

    @Test
    void checksTuningAgainstItsSchema() throws Exception {
        assertEquals(Tuning.DEFAULT, TuningFile.read(file("t.json", "{}")));
        assertEquals(
                60,
                TuningFile.read(file("t.json", "{\"commitmentMemoryS\":60}")).commitmentDecayS());
        for (String wrong : new String[] {"{\"commitmentMemoryS\":-1}", "{\"commitmentMemory\":60}"}) {
            Path file = file("t.json", wrong);
            InvalidSettingsException fault = assertThrows(InvalidSettingsException.class, () -> TuningFile.read(file));
            assertTrue(fault.getMessage().contains("commitmentMemory"), fault.getMessage());
        }
    }

    @Test
    void checkCommandExitsWithTwoOnInvalidFiles() throws Exception {
        String good = file("s.json", GOOD).toString();
        assertEquals(0, new CommandLine(new Main()).execute("check", "--config", good));
        assertEquals(2, new CommandLine(new Main()).execute("check", "--config", good + "x"));
        assertEquals(
                2,
                new CommandLine(new Main())
                        .execute(
                                "check",
                                "--config",
                                good,
                                "--tuning",
                                file("t.json", "[]").toString()));
    }
}
