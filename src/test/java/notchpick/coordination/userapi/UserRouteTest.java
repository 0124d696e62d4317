package notchpick.coordination.userapi;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import notchpick.coordination.userapi.UserRoute.Resource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Parsing of the paths of users' requests. */
class UserRouteTest {
    @ParameterizedTest
    @CsvSource({
        "/submissions, SUBMISSIONS, ''",
        "/submissions?x=/y, SUBMISSIONS, ''",
        "/submissions/run-000001, JOB, run-000001",
        "/submissions/, JOB, ''",
        "/submissions/run-000001?full=1, JOB, run-000001",
        "/submissions/run-000001/abort, CANCELLATION, run-000001"
    })
    void parsesPaths(String path, Resource resource, String jobId) {
        assertEquals(Optional.of(new UserRoute(resource, jobId)), UserRoute.parse(path));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "/", "/jobs", "/submissions/a/stop", "/submissions/a/abort/", "/x/submissions"})
    void rejectsOtherPaths(String path) {
        assertEquals(Optional.empty(), UserRoute.parse(path));
    }
}
