package org.borageproxy.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * What a backend server itself noted of one request: what it ran and answered. A server notes this before it answers,
 * and the outcome after that, so that the outcome is missing if the server was killed meanwhile.
 *
 * @param fields the fields by name, in the order of the record
 */
record ServerRecord(Map<String, String> fields) {

    /** Reads the records of all servers from the files of a folder, by the signature of the answer. */
    static Map<String, ServerRecord> readAll(Path folder) throws IOException {
        Map<String, ServerRecord> records = new LinkedHashMap<>();
        try (Stream<Path> files = Files.list(folder)) {
            List<Path> sorted = files.filter(file -> file.toString().endsWith(".record"))
                    .sorted()
                    .toList();
            for (Path file : sorted) {
                for (String line : Files.readAllLines(file)) {
                    Map<String, String> fields = parse(line);
                    records.computeIfAbsent(fields.get("sig"), key -> new ServerRecord(new LinkedHashMap<>()))
                            .fields()
                            .putAll(fields);
                }
            }
        }
        return records;
    }

    private static Map<String, String> parse(String line) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (String field : line.split(" ")) {
            int end = field.indexOf('=');
            if (end > 0) {
                fields.put(field.substring(0, end), field.substring(end + 1));
            }
        }
        return fields;
    }

    String get(String name) {
        return fields.getOrDefault(name, "");
    }

    String requestId() {
        return get("id");
    }

    /** Returns the status of the answer; 0 if its bytes were no answer. */
    int status() {
        return Integer.parseInt(get("status"));
    }

    boolean hasRun() {
        return get("ran").equals("true");
    }

    /** Returns the number of a connection that no other connection of any server has. */
    String connection() {
        return get("server") + "/" + get("connection");
    }

    /** Returns whether the server answered in full and did nothing else with the request. */
    boolean isSound() {
        return get("fault").equals("NONE") && get("outcome").equals("whole");
    }

    @Override
    public String toString() {
        return fields.toString() + (fields.containsKey("outcome") ? "" : " killed or still at work");
    }
}
