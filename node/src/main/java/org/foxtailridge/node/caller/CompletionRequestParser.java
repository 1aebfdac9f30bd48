package org.foxtailridge.node.caller;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.foxtailridge.clients.engine.ChatMessage;
import org.foxtailridge.configuration.model.WorkClass;
import org.foxtailridge.core.json.Json;

/** Parses the body of a completion; fields that are not known are ignored. */
final class CompletionRequestParser {
    private static final int DEFAULT_MAXIMUM_TOKENS = 256;
    private static final int LARGEST_MAXIMUM_TOKENS = 1_000_000;
    private static final int LARGEST_MODEL_CHARACTERS = 256;
    private static final int LARGEST_MESSAGES = 4096;

    private CompletionRequestParser() {}

    /**
     * Parses a body.
     *
     * @throws MalformedRequestException if it isn't a JSON object in UTF-8 or a field is out of
     *     range
     */
    static CompletionRequest parse(CompletionShape shape, byte[] body) {
        JsonNode root = readObject(body);
        boolean isChat = shape == CompletionShape.CHAT;
        return new CompletionRequest(
                shape,
                requiredText(root, "model", LARGEST_MODEL_CHARACTERS),
                isChat ? null : requiredText(root, "prompt", Integer.MAX_VALUE),
                isChat ? messages(root) : null,
                maximumTokens(root),
                flag(root, "stream"),
                workClass(root),
                due(root));
    }

    private static JsonNode readObject(byte[] body) {
        try {
            String text =
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
            JsonNode root = Json.mapper().readTree(text);
            if (root == null || !root.isObject()) {
                throw MalformedRequestException.notJson();
            }
            return root;
        } catch (CharacterCodingException | JacksonException unreadable) {
            throw MalformedRequestException.notJson();
        } catch (IOException | StackOverflowError unreadable) {
            throw MalformedRequestException.notJson();
        }
    }

    private static String requiredText(JsonNode root, String field, int largest) {
        JsonNode value = root.path(field);
        if (!value.isTextual() || value.textValue().length() > largest) {
            throw MalformedRequestException.badField(
                    field, "a text of at most " + largest + " characters");
        }
        return value.textValue();
    }

    private static List<ChatMessage> messages(JsonNode root) {
        JsonNode list = root.path("messages");
        if (!list.isArray() || list.isEmpty() || list.size() > LARGEST_MESSAGES) {
            throw MalformedRequestException.badField(
                    "messages", "a list of 1 to " + LARGEST_MESSAGES + " messages");
        }
        List<ChatMessage> messages = new ArrayList<>();
        for (JsonNode message : list) {
            messages.add(
                    new ChatMessage(
                            requiredText(message, "role", LARGEST_MODEL_CHARACTERS),
                            requiredText(message, "content", Integer.MAX_VALUE)));
        }
        return messages;
    }

    private static int maximumTokens(JsonNode root) {
        JsonNode value = root.path("max_tokens");
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_MAXIMUM_TOKENS;
        }
        boolean inRange =
                value.isIntegralNumber()
                        && value.canConvertToInt()
                        && value.intValue() >= 1
                        && value.intValue() <= LARGEST_MAXIMUM_TOKENS;
        if (!inRange) {
            throw MalformedRequestException.badField(
                    "max_tokens", "a whole number from 1 to " + LARGEST_MAXIMUM_TOKENS);
        }
        return value.intValue();
    }

    private static boolean flag(JsonNode root, String field) {
        JsonNode value = root.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return false;
        }
        if (!value.isBoolean()) {
            throw MalformedRequestException.badField(field, "true or false");
        }
        return value.booleanValue();
    }

    private static WorkClass workClass(JsonNode root) {
        JsonNode value = root.path("work_class");
        if (value.isMissingNode() || value.isNull()) {
            return WorkClass.INTERACTIVE;
        }
        for (WorkClass workClass : WorkClass.values()) {
            if (value.isTextual()
                    && value.textValue().equals(workClass.name().toLowerCase(Locale.ROOT))) {
                return workClass;
            }
        }
        throw MalformedRequestException.badField(
                "work_class", "interactive, must_complete or due_by");
    }

    private static Optional<Instant> due(JsonNode root) {
        JsonNode value = root.path("due");
        if (value.isMissingNode() || value.isNull()) {
            return Optional.empty();
        }
        try {
            return Optional.of(Instant.parse(value.asText()));
        } catch (DateTimeException unreadable) {
            throw MalformedRequestException.badField(
                    "due", "an instant such as 2030-01-01T06:00:00Z");
        }
    }
}
