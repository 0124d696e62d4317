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

/** Reading of the settings files: the values taken from them, and errors that name the invalid field. */
class SettingsTest {
    private static final String VALID = """
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
    void readsPlatformSettings() throws Exception {
        Deployment deployment = Settings.read(file("s.json", VALID));
        assertEquals(2, deployment.controllerCount());
        assertEquals(
                List.of(new Objective(Kind.FINISHED, 150), new Objective(Kind.STARTED, 90)),
                deployment.objectives().byClass().get("c"));
        assertTrue(deployment.quota("a").allows(new Resources(1000, 0, 0)));
    }

    @Test
    void usesLowerOfPresentAndAnnouncedLimits() throws Exception {
        Deployment deployment = Settings.read(file(
                "s.json",
                VALID.replace(
                        "\"txn_ops\":12",
                        "\"txn_ops\":12,\"next\":{\"value_kb\":2.0,\"txn_ops\":4,\"write_rps\":200,\"later\":1}")));
        assertEquals(2048, deployment.maxValueBytes());
        assertEquals(4, deployment.stateStoreLimits().transactionWrites());
        assertEquals(4, deployment.maxTransactionWrites());
        assertEquals(100, deployment.stateStoreLimits().writesPerS());
        assertEquals(250, deployment.stateStoreLimits().requestsPerS());
    }

    @Test
    void gracePeriodFitsIntoCancellationTimeout() throws Exception {
        Deployment deployment = Settings.read(file("s.json", VALID));
        // 42 s minus the worker lease of 22 s, the leader lease of 8 s and a heartbeat period of 3 s.
        assertEquals(9000, deployment.gracePeriodMs(8));
        // With a leader lease of 3.3 s it would be 13.7 s, but it is limited to half the worker lease.
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
    void errorNamesInvalidField(String original, String replacement, String field) throws Exception {
        Path file = file("s.json", VALID.replace(original, replacement));
        InvalidSettingsException error = assertThrows(InvalidSettingsException.class, () -> Settings.read(file));
        assertTrue(error.getMessage().contains(field), error.getMessage());
        assertTrue(error.field().endsWith(field), error.field());
        assertEquals("settings: " + error.field() + " must " + error.requirement(), error.getMessage());
        assertEquals(1, error.getMessage().lines().count());
    }

    @Test
    void validatesTuningAgainstSchema() throws Exception {
        assertEquals(Tuning.DEFAULT, TuningFile.read(file("t.json", "{}")));
        assertEquals(
                60,
                TuningFile.read(file("t.json", "{\"commitmentMemoryS\":60}")).commitmentDecayS());
        for (String invalid : new String[] {"{\"commitmentMemoryS\":-1}", "{\"commitmentMemory\":60}"}) {
            Path file = file("t.json", invalid);
            InvalidSettingsException error = assertThrows(InvalidSettingsException.class, () -> TuningFile.read(file));
            assertTrue(error.getMessage().contains("commitmentMemory"), error.getMessage());
        }
    }

    @Test
    void checkCommandExitsWithTwoOnInvalidFiles() throws Exception {
        String valid = file("s.json", VALID).toString();
        assertEquals(0, new CommandLine(new Main()).execute("check", "--config", valid));
        assertEquals(2, new CommandLine(new Main()).execute("check", "--config", valid + "x"));
        assertEquals(
                2,
                new CommandLine(new Main())
                        .execute(
                                "check",
                                "--config",
                                valid,
                                "--tuning",
                                file("t.json", "[]").toString()));
    }
}
