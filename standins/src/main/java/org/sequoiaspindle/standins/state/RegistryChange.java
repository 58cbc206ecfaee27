package org.sequoiaspindle.standins.state;

import java.util.Optional;

/**
 * Write or removal of a key of the registry.
 *
 * @param value empty if the key was removed
 * @param lease id of the lease that the key is attached to, 0 for no lease
 */
public record RegistryChange(
        String key, Optional<ImmutableBytes> value, long revision, long lease) {

    public static RegistryChange written(
            String key, ImmutableBytes value, long revision, long lease) {
        return new RegistryChange(key, Optional.of(value), revision, lease);
    }

    public static RegistryChange removed(String key, long revision) {
        return new RegistryChange(key, Optional.empty(), revision, 0);
    }
}
