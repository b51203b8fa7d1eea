package org.borageproxy.key;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.borageproxy.tree.Configuration;
import org.borageproxy.tree.KeyRecord;
import org.borageproxy.tree.Workspace;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Checks which keys are accepted. */
class KeyAuthenticatorTest {

    private static Configuration configuration(boolean withdrawn, String workspace) {
        KeyRecord record = new KeyRecord("k1", KeyDigest.of("secret").value(), workspace, withdrawn);
        return new Configuration(
                1,
                Map.of("quilters", new Workspace("quilters", 1, 1, 0, Set.of())),
                Map.of(),
                Map.of(),
                List.of(),
                Map.of(record.digest(), record));
    }

    private static AuthenticationResult authenticate(Configuration configuration, String header) {
        Optional<String> key = KeyAuthenticator.INSTANCE.bearerToken(header);
        return KeyAuthenticator.INSTANCE.authenticate(configuration, key);
    }

    @Test
    void acceptsOnlyKnownUnrevokedBearerKeyOfExistingWorkspace() {
        Configuration usable = configuration(false, "quilters");
        assertEquals(
                new AuthenticationResult.Accepted("quilters", KeyDigest.of("secret")),
                authenticate(usable, "bearer secret"));
        assertEquals(AuthenticationResult.Refused.INSTANCE, authenticate(usable, "Bearer other"));
        assertEquals(AuthenticationResult.Refused.INSTANCE, authenticate(usable, "Basic secret"));
        assertEquals(AuthenticationResult.Refused.INSTANCE, authenticate(usable, null));
        assertEquals(
                AuthenticationResult.Refused.INSTANCE, authenticate(configuration(true, "quilters"), "Bearer secret"));
        assertEquals(
                AuthenticationResult.Refused.INSTANCE, authenticate(configuration(false, "gone"), "Bearer secret"));
    }
}
