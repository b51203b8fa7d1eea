package org.borageproxy.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** An HTTP client for the interfaces of the fleet. Safe for use by any thread. */
final class Caller {

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();

    HttpResponse<String> post(String host, int port, String path, String key, String body, String... headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = request(host, port, path, key, headers)
                .header("content-type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body));
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /**
     * Reads a streamed response. The text ends with "(cut)" if the connection closed before the end of the response.
     */
    String stream(String host, int port, String path, String key, String body)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = request(host, port, path, key)
                .header("content-type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body));
        HttpResponse<InputStream> response = client.send(request.build(), HttpResponse.BodyHandlers.ofInputStream());
        StringBuilder text = new StringBuilder();
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
            lines.lines().forEach(line -> text.append(line).append('\n'));
        } catch (UncheckedIOException exception) {
            text.append("(cut)");
        }
        return text.toString();
    }

    HttpResponse<String> get(String host, int port, String path, String key, String... headers)
            throws IOException, InterruptedException {
        return client.send(request(host, port, path, key, headers).GET().build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the status of a GET request, or zero if the connection or the response fails. */
    int statusOrZero(String host, int port, String path) {
        try {
            return get(host, port, path, "").statusCode();
        } catch (IOException exception) {
            return 0;
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static HttpRequest.Builder request(String host, int port, String path, String key, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + host + ":" + port + path))
                .timeout(Duration.ofSeconds(30));
        if (!key.isEmpty()) {
            request.header("authorization", "Bearer " + key);
        }
        for (int index = 0; index < headers.length; index += 2) {
            request.header(headers[index], headers[index + 1]);
        }
        return request;
    }
}
