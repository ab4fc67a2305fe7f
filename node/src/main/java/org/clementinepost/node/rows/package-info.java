/** What the services that follow the store's rows have in common. */
package org.clementinepost.node.rows;
