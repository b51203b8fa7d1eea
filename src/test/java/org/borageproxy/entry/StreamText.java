package org.borageproxy.entry;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Extracts the text from streamed chat events. */
final class StreamText {

    private StreamText() {}

    static String of(String events) {
        StringBuilder text = new StringBuilder();
        for (String line : events.split("\n")) {
            if (line.startsWith("data: {")) {
                JsonArray choices = new JsonObject(line.substring(6)).getJsonArray("choices", new JsonArray());
                for (int index = 0; index < choices.size(); index++) {
                    JsonObject delta = choices.getJsonObject(index).getJsonObject("delta", new JsonObject());
                    text.append(delta.getString("content", ""));
                }
            }
        }
        return text.toString();
    }
}
