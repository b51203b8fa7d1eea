import java.util.List;
import java.util.stream.Collectors;

/** The configurations of the cases. */
final class Documents {

    static final String HOST = "callers.example";
    static final String KEY = "k3y0fth3fu11t3n4nt";

    private Documents() {}

    private static String document(String routes, String services) {
        return document(routes, services, 0, 0);
    }

    private static String document(String routes, String services, int ratePerSecond, int burst) {
        return "{\"Version\":7,\"Routes\":[" + routes + "],\"Services\":[" + services
                + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                + "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"tenant1\",\"ApiKeys\":[\"" + KEY
                + "\"],\"Priority\":1,\"Unit\":\"token_stream\",\"PlainTokens\":200,\"RatePerS\":" + ratePerSecond
                + ",\"Burst\":" + burst + "}]}";
    }

    private static String streamRoute(String destination, int timeoutMillis, int maxAttempts) {
        return "{\"Name\":\"r-streams\",\"Host\":\"" + HOST + "\",\"PathPrefix\":\"/gen/\",\"Type\":\"streaming\","
                + "\"TimeoutMs\":" + timeoutMillis + ",\"TargetLatencyMs\":1200,\"Priority\":1," + destination
                + ",\"MaxAttempts\":" + maxAttempts + ",\"Public\":false,\"Sticky\":true,\"Resumable\":"
                + (maxAttempts > 1) + ",\"TargetGapMs\":400}";
    }

    private static String engineService(String name) {
        return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/healthz\",\"MaxConnections\":370,\"Protocol\":\"h1\","
                + "\"Tls\":false,\"Engine\":{\"Slots\":16,\"KvCapacityTokens\":90000,\"KvBytes\":163840,"
                + "\"LinkMbps\":280000.0,\"Moves\":true,\"Backups\":true,\"Stride\":1,\"Cap\":12,\"HostMb\":150000.0,"
                + "\"DiskMb\":440000.0,\"PinMs\":4000.0,\"HoldMs\":2000.0,\"handle_s\":5.0,\"Models\":[{\"Name\":\"m1\","
                + "\"WeightsMb\":65000.0,\"LoadS\":5.0,\"Adapters\":0,\"AdapterSizeMb\":12.0,\"WarmS\":0.76,"
                + "\"DiskS\":2.0}],\"WeightsMb\":220000.0,\"AdapterSlots\":5,\"LoadsPerS\":2.1}}";
    }

    /** One route of streams to replicas that hold the model m1; resumable if there is more than one attempt. */
    static String streams(int maxAttempts) {
        return document(streamRoute("\"Service\":\"llm\"", 5_000, maxAttempts), engineService("llm"));
    }

    /** The same, not resumable, with a quota of the tenant in tokens. */
    static String streamsWithQuota(int ratePerSecond, int burst) {
        return document(
                streamRoute("\"Service\":\"llm\"", 5_000, 1), engineService("llm"), ratePerSecond, burst);
    }

    /** One route of resumable streams that is split between services in equal parts. */
    static String splitStreams(List<String> services) {
        String split = services.stream()
                .map(name -> "{\"Service\":\"" + name + "\",\"Weight\":10}")
                .collect(Collectors.joining(","));
        return document(
                streamRoute("\"TrafficSplit\":[" + split + "]", 15_000, 2),
                services.stream().map(Documents::engineService).collect(Collectors.joining(",")));
    }

    /** A safe route for lookups and an unsafe one for commits, to an application. */
    static String application() {
        return application(4_000);
    }

    /** The same with another time-out of both routes. */
    static String application(int timeoutMillis) {
        String route = "{\"Name\":\"r-%1$s\",\"Host\":\"" + HOST + "\",\"PathPrefix\":\"/%1$s/\",\"Type\":\"%2$s\","
                + "\"TimeoutMs\":%4$d,\"TargetLatencyMs\":386,\"Priority\":1,\"Service\":\"api\",\"MaxAttempts\":%3$d,"
                + "\"Public\":false,\"Sticky\":false,\"Resumable\":false}";
        return document(
                String.format(route, "lookup", "safe", 2, timeoutMillis) + ","
                        + String.format(route, "commit", "unsafe", 2, timeoutMillis),
                "{\"Name\":\"api\",\"HealthPath\":\"/healthz\",\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false}");
    }
}
