package org.foxtailridge.node;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;
import org.foxtailridge.node.settings.NodeSettings;

/** Builds a node from its settings. */
@Singleton
@Component(modules = NodeModule.class)
interface NodeComponent {
    /** Returns the node. */
    Node node();

    /** Takes the settings. */
    @Component.Factory
    interface Factory {
        /** Returns a component for the settings. */
        NodeComponent create(@BindsInstance NodeSettings settings);
    }
}
