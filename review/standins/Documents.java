/** Configurations as an operator sends them. */
final class Documents {

    private Documents() {}

    /** A plain service "api" with an unsafe route /commit/ and a safe route /lookup/, and model engines "llm". */
    static String configuration(int version) {
        return "{\"Version\":" + version + ",\"Routes\":["
                + "{\"Name\":\"r-commit\",\"Host\":\"a.example\",\"PathPrefix\":\"/commit/\",\"Type\":\"unsafe\","
                + "\"TimeoutMs\":20000,\"TargetLatencyMs\":386,\"Priority\":1,\"Service\":\"api\",\"MaxAttempts\":1,"
                + "\"Public\":false},"
                + "{\"Name\":\"r-lookup\",\"Host\":\"a.example\",\"PathPrefix\":\"/lookup/\",\"Type\":\"safe\","
                + "\"TimeoutMs\":20000,\"TargetLatencyMs\":386,\"Priority\":1,\"Service\":\"api\",\"MaxAttempts\":2,"
                + "\"Public\":false},"
                + "{\"Name\":\"r-triage\",\"Host\":\"a.example\",\"PathPrefix\":\"/triage/\",\"Type\":\"streaming\","
                + "\"TimeoutMs\":20000,\"TargetLatencyMs\":1200,\"Priority\":1,\"Service\":\"llm\",\"MaxAttempts\":2,"
                + "\"Public\":false,\"Sticky\":true,\"Resumable\":false,\"TargetGapMs\":400},"
                + "{\"Name\":\"r-draft\",\"Host\":\"a.example\",\"PathPrefix\":\"/draft/\",\"Type\":\"streaming\","
                + "\"TimeoutMs\":20000,\"TargetLatencyMs\":3000,\"Priority\":1,\"Service\":\"llm\",\"MaxAttempts\":2,"
                + "\"Public\":false,\"Sticky\":true,\"Resumable\":true,\"TargetGapMs\":400}],"
                + "\"Services\":[{\"Name\":\"api\",\"HealthPath\":\"/healthz\",\"MaxConnections\":100,"
                + "\"Protocol\":\"h1\",\"Tls\":false},"
                + "{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConnections\":360,\"Protocol\":\"h1\","
                + "\"Tls\":false,\"Engine\":{\"Slots\":64,\"KvCapacityTokens\":137841,\"KvBytes\":163840,"
                + "\"LinkMbps\":280000.0,\"Stride\":2,\"Cap\":12,\"Models\":["
                + "{\"Name\":\"m1\",\"WeightsMb\":42700.0,\"LoadS\":5.0,\"Adapters\":94,\"AdapterSizeMb\":12.0,"
                + "\"WarmS\":0.76,\"DiskS\":2.0}],\"WeightsMb\":200000.0,\"AdapterSlots\":8,\"LoadsPerS\":2.1}}],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                + "\"IdleTimeoutMs\":15000},"
                + "\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"key-of-tenant-one\"],\"Priority\":1,"
                + "\"Unit\":\"token_stream\",\"PlainTokens\":200,\"RatePerS\":0,\"Burst\":0}]}";
    }

    /** The head of a client's request with a body of two bytes, which is included. */
    static String request(String path, String id, long deadlineMillis, String extraFields) {
        return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
                + "\r\nX-Credential: key-of-tenant-one\r\nX-Deadline-Ms: " + deadlineMillis + "\r\n" + extraFields
                + "Content-Length: 2\r\n\r\nhi";
    }
}
