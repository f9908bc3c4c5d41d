import type { GrayModes } from './BackendConfig'

/** Events that the reducer handles. @public */
export type BackendEvent = { readonly at: number } & (
  | {
    readonly type: 'requestReceived',
    readonly id: number,
    readonly method: string,
    readonly path: string,
    readonly headers: Readonly<Record<string, string | string[] | undefined>>,
    /** Whether the client waits for `100 Continue` before it sends the body. */
    readonly expectsContinue: boolean
  }
  | { readonly type: 'bodyReceived', readonly id: number, readonly bytes: number }
  | { readonly type: 'serviceEnded', readonly id: number }
  | { readonly type: 'requestClosed', readonly id: number }
  | { readonly type: 'modesSet', readonly modes: Partial<GrayModes> }
  | { readonly type: 'drainCommanded' }
  | { readonly type: 'serveCommanded' }
  | { readonly type: 'leaveCommanded' }
  | { readonly type: 'crashCommanded' }
  | { readonly type: 'restarted' }
  | { readonly type: 'announceDue' }
)
