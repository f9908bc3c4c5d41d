import { type NodeSettings, nodeSettings, SettingError, splitAddress } from '@lavenderturn/runtime'
import { type Address, toId } from '@lavenderturn/types'
import type { AddressInfo, Server } from 'node:net'

/** Settings with a listen address of the node. @internal */
export type PortSetting = 'adminAddress' | 'callerAddress' | 'controlAddress' | 'forwardAddress'

/**
 * Listens on the address of a setting.
 *
 * @param server - server to start
 * @param name - name of the setting
 * @param settings - validated settings
 * @returns the address, with the assigned port if the setting has port 0
 * @throws SettingError if the server cannot listen on the address
 * @internal
 */
export async function openPort (server: Pick<Server, 'address' | 'listen' | 'once'>, name: PortSetting, settings: NodeSettings): Promise<Address> {
  const { host, port } = splitAddress(settings[name])
  await new Promise<void>((resolve, reject) => {
    server.once('error', (err) => {
      const { flag, env } = nodeSettings[name]
      reject(new SettingError(`--${flag} (${env})`, err.message))
    })
    server.listen(port, host, resolve)
  })
  return toId<Address>(`${host}:${(server.address() as AddressInfo).port}`)
}
