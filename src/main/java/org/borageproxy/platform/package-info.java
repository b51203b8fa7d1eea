/**
 * Adapts header names, document formats and HTTP calls of the deployment platform to the types of this project.
 * Contains no policy.
 */
package org.borageproxy.platform;
