import type { RouteId } from '@lavenderturn/types'
import type { RouteEntry } from '../ControlDocument'

/** Node of the trie for one path segment. Empty fields are left out to save memory, because most nodes are leaves. */
interface TrieNode {
  children?: Map<string, TrieNode>
  /** Routes whose path prefix ends at this node: at most one per method, and one without a method. */
  routes?: RouteEntry[]
}

/** Finds routes by path prefix in a trie of path segments. @internal */
export class RouteTable {
  private readonly root: TrieNode = {}
  private readonly byId = new Map<RouteId, RouteEntry>()

  /** @param routes - initial routes */
  constructor (routes: Iterable<RouteEntry>) {
    for (const route of routes) this.set(route)
  }

  /**
   * Finds the route of a request.
   *
   * @param method - HTTP method
   * @param path - normalised path
   * @returns the route with the longest matching prefix. A route for this method takes precedence over a route with the
   *   same prefix for any method.
   */
  find (method: string, path: string): RouteEntry | undefined {
    let node: TrieNode | undefined = this.root
    let found = findInNode(node, method)
    let start = 1
    while (start < path.length) {
      const slash = path.indexOf('/', start)
      const end = slash < 0 ? path.length : slash
      node = node.children?.get(path.slice(start, end))
      if (node === undefined) return found
      found = findInNode(node, method) ?? found
      start = end + 1
    }
    return found
  }

  /**
   * Finds a route that matches exactly the same requests.
   *
   * @param match - method and normalised path prefix
   * @returns the route, or undefined if there is none
   */
  findIdentical ({ method, pathPrefix }: Pick<RouteEntry, 'method' | 'pathPrefix'>): RouteEntry | undefined {
    let node: TrieNode | undefined = this.root
    for (const segment of listSegments(pathPrefix)) node = node?.children?.get(segment)
    return node?.routes?.find((route) => route.method === method)
  }

  /**
   * Adds a route, or replaces the route with the same id.
   *
   * @param route - the route
   */
  set (route: RouteEntry): void {
    this.delete(route.id)
    this.byId.set(route.id, route)
    let node = this.root
    for (const segment of listSegments(route.pathPrefix)) {
      node.children ??= new Map()
      let child = node.children.get(segment)
      if (child === undefined) node.children.set(segment, child = {})
      node = child
    }
    node.routes = [...node.routes ?? [], route]
  }

  /**
   * Removes a route if it is in the table.
   *
   * @param id - id of the route
   */
  delete (id: RouteId): void {
    const route = this.byId.get(id)
    if (route === undefined) return
    this.byId.delete(id)
    removeRoute(this.root, route, listSegments(route.pathPrefix))
  }

  /** @returns all routes */
  values (): IterableIterator<RouteEntry> {
    return this.byId.values()
  }
}

function findInNode ({ routes }: TrieNode, method: string): RouteEntry | undefined {
  if (routes === undefined) return undefined
  return routes.find((route) => route.method === method) ?? routes.find((route) => route.method === undefined)
}

function listSegments (pathPrefix: string): string[] {
  return pathPrefix === '/' ? [] : pathPrefix.slice(1).split('/')
}

/** Removes a route and the nodes that become empty. */
function removeRoute (node: TrieNode, route: RouteEntry, [segment, ...rest]: readonly string[]): void {
  if (segment === undefined) {
    const routes = node.routes?.filter((other) => other !== route) ?? []
    node.routes = routes.length === 0 ? undefined : routes
    return
  }
  const child = node.children?.get(segment)
  if (child === undefined) return
  removeRoute(child, route, rest)
  if (child.routes === undefined && child.children === undefined) node.children!.delete(segment)
  if (node.children!.size === 0) node.children = undefined
}
